/** Tests of log lines. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createLogger } from './create_logger.ts'

const test = suite('createLogger')

test('createLogger() writes one line of key=value pairs for each event, and quotes values that need it', () => {
  const lines: string[] = []
  const logger = createLogger({ name: 'test', level: 'info', write: (line) => { lines.push(line) } })
  logger.info({ server: 's-1', detail: 'two words\nand "quotes"', count: 3 }, 'something-happened')
  logger.debug({}, 'not-written')
  assert.is(lines.length, 1)
  assert.match(lines[0] ?? '', /^time=\S+ level=info process=test event=something-happened server=s-1 detail="two words\\nand \\"quotes\\"" count=3\n$/)
})

test.run()
