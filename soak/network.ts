/** Loopback networks and random numbers of the runs. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { SoakStore } from './store.ts'

/** First port of every run; simultaneous runs use different loopback networks. */
export const BASE_PORT = 20_000

/** Port of the store, and the last number of its address in each network. */
export const STORE_PORT = BASE_PORT + 39
export const STORE_HOST_NUMBER = 250

const NETWORK_COUNT = 200

/** Makes the store listen on the first free loopback network, so that simultaneous runs use different ones. Returns the third number of the network's addresses. */
export async function listenOnFreeNetwork (store: SoakStore, seed: number): Promise<number> {
  for (let attempt = 0; attempt < NETWORK_COUNT; attempt++) {
    const network = 1 + (seed + attempt) % NETWORK_COUNT
    const isFree = await new Promise<boolean>((resolve) => {
      store.server.once('error', () => { resolve(false) })
      store.server.listen(STORE_PORT, `127.0.${network}.${STORE_HOST_NUMBER}`, () => { resolve(true) })
    })
    if (isFree) return network
  }
  throw new Error(`No loopback network is free: all ${NETWORK_COUNT} are in use`)
}

/** Returns a source of random numbers from 0 to 1 that a seed determines. */
export function createRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformInt(generator, 0, 2 ** 30) / 2 ** 30
}
