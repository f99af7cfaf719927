/** Stand-in for the platform's store: rows, and conditional transactions. */
import { createServer } from 'node:http'

/** Time of an answer, in milliseconds, as the site files state it. */
const ANSWER_MS = 4

export class Store {
  #tables = new Map()
  #version = 0
  #server = createServer((request, response) => {
    const parts = []
    request.on('data', (part) => { parts.push(part) })
    request.on('end', () => { setTimeout(() => { this.#respond(request, response, Buffer.concat(parts).toString()) }, ANSWER_MS) })
  })

  async listen (ip) {
    await new Promise((resolve) => { this.#server.listen(0, ip, resolve) })
    this.address = `${ip}:${this.#server.address().port}`
  }

  close () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  put (table, key, value) {
    this.#version++
    this.#write(table, key, Buffer.from(JSON.stringify(value)).toString('base64'))
  }

  #rows (table) {
    if (!this.#tables.has(table)) this.#tables.set(table, new Map())
    return this.#tables.get(table)
  }

  #write (table, key, value) {
    this.#rows(table).set(key, { Table: table, part: '', Key: key, Value: value, Ver: this.#version })
  }

  #respond (request, response, body) {
    response.setHeader('Store-Era', '1')
    response.setHeader('Content-Type', 'application/json')
    const url = new URL(request.url, 'http://store')
    if (url.pathname === '/-/rows-tx') return this.#transact(JSON.parse(body), response)
    if (url.pathname !== '/-/rows-get') return response.writeHead(404).end()
    const from = url.searchParams.get('From') ?? ''
    const to = url.searchParams.get('Target')
    const rows = [...this.#rows(url.searchParams.get('Table')).values()]
      .filter(({ Key }) => Key >= from && (to === null || Key < to))
      .sort((left, right) => left.Key < right.Key ? -1 : 1)
    response.end(JSON.stringify({ Rows: rows, HasMore: false, Ver: this.#version, Now: `${Math.round(performance.now())}ms` }))
  }

  #transact ({ Expected: expected, Puts: puts, Deletes: deletes = [] }, response) {
    const rows = expected.map(({ Table, Key }) => this.#rows(Table).get(Key))
    const now = `${Math.round(performance.now())}ms`
    if (rows.some((row, index) => (row?.Ver ?? 0) !== expected[index].Ver)) {
      return response.writeHead(412).end(JSON.stringify({ Rows: rows.filter((row) => row !== undefined), Ver: this.#version, Now: now }))
    }
    this.#version++
    for (const { Table, Key, Value } of puts) this.#write(Table, Key, Value)
    for (const { Table, Key } of deletes) this.#rows(Table).delete(Key)
    response.end(JSON.stringify({ Ver: this.#version, Now: now }))
  }
}
