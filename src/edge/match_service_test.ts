/** Tests of the match of requests to services and keys. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { serviceSchema, type ServiceConfiguration } from '../configuration/mod.ts'
import { extractKey, matchService } from './match_service.ts'

const test = suite('matchService')

function serviceOf (name: string, match: { readonly path: string, readonly host?: string }, key?: unknown): ServiceConfiguration {
  return serviceSchema.parse({ name, match, key, servers: { slots: 1, connections: 1, checks_grants: true } })
}

const services = [
  serviceOf('all', { path: '/' }),
  serviceOf('casts', { path: '/casts' }),
  serviceOf('museum', { path: '/casts', host: 'museum.example' })
]

function nameFor (host: string, path: string): string | undefined {
  return matchService(services, { host, path, headers: {} })?.name
}

test('matchService() prefers the longer path, and a named host', () => {
  assert.is(nameFor('any.example', '/casts/1'), 'casts')
  assert.is(nameFor('Museum.example:8080', '/casts/1'), 'museum')
  assert.is(nameFor('any.example', '/castsandmore'), 'all')
  assert.is(nameFor('any.example', '/casts?page=2'), 'casts')
})

test('keyOfRequest() reads path segments, headers and queries', () => {
  const target = { host: 'h', path: '/casts/a%20b/part?id=7&id=8', headers: { 'x-cast': 'ammonite' } }
  assert.is(extractKey(serviceOf('s', { path: '/casts' }, { from: 'path', segment: 1 }), target), 'a b')
  assert.is(extractKey(serviceOf('s', { path: '/casts' }, { from: 'path', segment: 3 }), target), undefined)
  assert.is(extractKey(serviceOf('s', { path: '/casts' }, { from: 'header', name: 'X-Cast' }), target), 'ammonite')
  assert.is(extractKey(serviceOf('s', { path: '/casts' }, { from: 'query', name: 'id' }), target), '7')
  assert.is(extractKey(serviceOf('s', { path: '/casts' }), target), null)
})

test('keyOfRequest() gives one key for all spellings of a segment, and keeps broken ones apart', () => {
  const service = serviceOf('s', { path: '/casts' }, { from: 'path', segment: 1 })
  const keyOf = (path: string): unknown => extractKey(service, { host: 'h', path, headers: {} })
  assert.is(keyOf('/casts/%61mmonite'), keyOf('/casts/ammonite'))
  assert.is(keyOf('/casts//ammonite'), 'ammonite')
  assert.is(keyOf('/casts/%zz'), '%zz')
})

test.run()
