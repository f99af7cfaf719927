/** Tests of fingerprints: a request that comes again must be recognised at any host, and must not be taken for another caller's. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { fingerprintRequest, type RequestContent } from './request_fingerprint.ts'

const test = suite('request fingerprint')

const IGNORED: ReadonlySet<string> = new Set(['x-attempt'])

const content: RequestContent = { method: 'POST', path: '/orders/7?copy=1', headers: ['Host', 'one.example', 'X-Attempt', 'r1', 'Authorization', 'Bearer a', 'X-Request-Id', '1'], body: Buffer.from('cast') }

function fingerprintOf (changes: Partial<RequestContent>): string | null {
  return fingerprintRequest({ ...content, ...changes }, IGNORED)?.exact ?? null
}

test('fingerprintRequest() returns the same value for another attempt, when only headers that vary between attempts differ', () => {
  assert.is(fingerprintOf({ headers: ['X-Request-Id', '2', 'authorization', 'Bearer a', 'Traceparent', '00-1', 'x-attempt', 'r2', 'host', 'one.example'] }), fingerprintOf({}))
})

test('fingerprintRequest() returns another value, when method, path, query, body, authority or caller differ', () => {
  const others: Array<Partial<RequestContent>> = [
    { method: 'PUT' }, { path: '/orders/8?copy=1' }, { path: '/orders/7?copy=2' }, { body: Buffer.from('last') }, { body: null },
    { headers: content.headers.map((value) => value === 'one.example' ? 'two.example' : value) },
    { headers: content.headers.map((value) => value === 'Bearer a' ? 'Bearer b' : value) }
  ]
  const values = new Set([fingerprintOf({}), ...others.map(fingerprintOf)])
  assert.is(values.size, others.length + 1)
})

test('fingerprintRequest() uses the length of a streamed body, and returns null when that is not known', () => {
  assert.is(fingerprintOf({ body: { contentLength: '2000000' } }), fingerprintOf({ body: { contentLength: '2000000' } }))
  assert.is.not(fingerprintOf({ body: { contentLength: '2000000' } }), fingerprintOf({ body: { contentLength: '2000001' } }))
  assert.is(fingerprintOf({ body: { contentLength: undefined } }), null)
})

test('fingerprintRequest() returns the same fingerprint of the content, when headers other than the authority differ', () => {
  const contentOf = (changes: Partial<RequestContent>): string | undefined => fingerprintRequest({ ...content, ...changes }, IGNORED)?.content
  assert.is(contentOf({ headers: ['Host', 'one.example', 'X-Nonce', '7'] }), contentOf({}))
  assert.is.not(contentOf({ headers: ['Host', 'two.example'] }), contentOf({}))
  assert.is.not(contentOf({ body: Buffer.from('last') }), contentOf({}))
  assert.is.not(contentOf({}), fingerprintOf({}))
})

test.run()
