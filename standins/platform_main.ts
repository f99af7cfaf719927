/** Starts the stand-in for the platform: `platform_main <port> [lag in milliseconds]`. */
import { createPlatform } from './platform.ts'

const app = createPlatform({ lagMs: Number(process.argv[3] ?? 1500) })
await app.listen({ host: '127.0.0.1', port: Number(process.argv[2] ?? 9000) })
process.on('SIGTERM', () => { process.exit(0) })
