/** Tests of ranks: they are the same on every host and spread evenly. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { rendezvousRank } from './rendezvous_rank.ts'

const test = suite('rendezvousRank')

test('rendezvousRank() returns the same number in every process, since all hosts have to choose the same candidate', () => {
  assert.is(rendezvousRank('host-1', 'server-12'), rendezvousRank('host-1', 'server-12'))
  assert.is.not(rendezvousRank('host-1', 'server-12'), rendezvousRank('host-2', 'server-12'))
})

test('rendezvousRank() chooses each of ten candidates for about a tenth of the subjects, when names differ in a few digits', () => {
  const subjects = 5000
  const chosen = new Map<string, number>()
  for (let subject = 0; subject < subjects; subject++) {
    const ranks = Array.from({ length: 10 }, (_, index) => ({ candidate: `edge-a-${index}`, rank: rendezvousRank(`edge-a-${index}`, `i-${subject}`) }))
    const best = ranks.reduce((left, right) => right.rank < left.rank ? right : left)
    chosen.set(best.candidate, (chosen.get(best.candidate) ?? 0) + 1)
  }
  assert.is(chosen.size, 10)
  // Five standard deviations of a binomial count with mean 500.
  for (const count of chosen.values()) assert.ok(Math.abs(count - subjects / 10) < 5 * Math.sqrt(subjects * 0.1 * 0.9), `A candidate was chosen ${count} times`)
})

test.run()
