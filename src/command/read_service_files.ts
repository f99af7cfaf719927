/** Reads service files from a folder. */
import { open, readdir } from 'node:fs/promises'
import { join } from 'node:path'
import { MAXIMUM_FILE_BYTES, type SourceFile } from '../configuration/mod.ts'
import type { Finding } from '../errors/mod.ts'

/** Files that were read, and findings for those that could not be read. */
export interface ReadFiles {
  readonly files: readonly SourceFile[]
  readonly findings: readonly Finding[]
}

/**
 * Reads every file of a folder whose name ends in `.toml`.
 *
 * @param folder Path of the folder.
 * @returns The files and findings; of a file that is too large, only one byte more than the limit is read.
 */
export async function readServiceFiles (folder: string): Promise<ReadFiles> {
  const files: SourceFile[] = []
  const findings: Finding[] = []
  try {
    const names = (await readdir(folder)).filter((name) => name.endsWith('.toml')).sort()
    for (const name of names) {
      const path = join(folder, name)
      try {
        files.push({ name: path, content: await readUpToLimit(path) })
      } catch (error) {
        findings.push({ source: path, message: `The file could not be read: ${errorMessage(error)}` })
      }
    }
  } catch (error) {
    findings.push({ source: folder, message: `The folder could not be read: ${errorMessage(error)}` })
  }
  return { files, findings }
}

async function readUpToLimit (path: string): Promise<Uint8Array> {
  const file = await open(path)
  try {
    const buffer = Buffer.alloc(MAXIMUM_FILE_BYTES + 1)
    const { bytesRead } = await file.read(buffer, 0, buffer.length, 0)
    return buffer.subarray(0, bytesRead)
  } finally {
    await file.close()
  }
}

function errorMessage (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
