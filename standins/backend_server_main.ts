/** Starts stand-ins for backend servers: `backend_server_main '[{"id","host","port","behaviour"}, ...]'`. */
import { createBackendServer, type BackendBehaviour } from './backend_server.ts'

interface Entry { id: string, host: string, port: number, behaviour: Partial<BackendBehaviour> }

const entries = JSON.parse(process.argv[2] ?? '[]') as Entry[]
for (const entry of entries) {
  createBackendServer({ id: entry.id, behaviour: entry.behaviour }).server.listen(entry.port, entry.host)
}
process.on('SIGTERM', () => { process.exit(0) })
