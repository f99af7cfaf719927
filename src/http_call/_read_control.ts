/**
 * Decides whether the connection of a response is read.
 *
 * Pausing the response itself would not do: the runtime goes on parsing what it
 * has read, and keeps each part as an object of its own.
 */
import type { Socket } from 'node:net'
import type { ReadTurns } from './read_turns.ts'

/** Parts of bodies that are parsed before their connection waits for its turn: a read of a body in chunks of some hundred bytes. */
const PARTS_PER_TURN = 256

/** Reading of the connection of one response. */
export interface ReadControl {
  /** Records that a part of the body was parsed. */
  recordPart (): void
  setPaused (isPaused: boolean): void
  /** Ends the control: the connection is read, or left to its next request. */
  end (): void
}

/**
 * Begins to control the reading of a connection.
 *
 * @param socket The connection.
 * @param turns Turns that the connections of the process share.
 * @returns The control.
 */
export function controlReading (socket: Socket, turns: ReadTurns): ReadControl {
  let parts = 0
  let isPaused = false
  let isWaiting = false
  let isHeld = false
  let hasEnded = false

  // The runtime reads on whenever a response is read.
  function holdBack (): void { socket.pause() }
  function update (): void {
    const mustHold = !hasEnded && (isPaused || isWaiting)
    if (mustHold === isHeld) return
    isHeld = mustHold
    if (mustHold) {
      socket.on('resume', holdBack)
      socket.pause()
    } else {
      socket.off('resume', holdBack)
      if (!socket.destroyed) socket.resume()
    }
  }

  return {
    recordPart () {
      parts++
      if (parts < PARTS_PER_TURN || isWaiting) return
      parts = 0
      isWaiting = true
      update()
      turns.add(() => {
        isWaiting = false
        update()
      })
    },
    setPaused (value) {
      isPaused = value
      update()
    },
    end () {
      hasEnded = true
      update()
    }
  }
}
