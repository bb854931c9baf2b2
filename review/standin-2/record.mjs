/** Writes what a case has seen to `record.txt` in its folder. */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'

export function createRecord (folder) {
  const startedMs = performance.now()
  const lines = []
  return {
    add (text) {
      const line = `${((performance.now() - startedMs) / 1000).toFixed(3).padStart(8)} s  ${text}`
      lines.push(line)
    },
    write (verdict) {
      lines.push(verdict)
      writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`)
      process.stdout.write(`${verdict}\n`)
    }
  }
}

/** Runs a case, ends the process with its verdict, and with 2 if the case could not run. */
export async function runCase (folder, play) {
  const record = createRecord(folder)
  try {
    const { isBroken, text } = await play(record)
    record.write(`${isBroken ? 'BROKEN' : 'HELD'}: ${text}`)
    process.exit(isBroken ? 1 : 0)
  } catch (error) {
    record.write(`COULD NOT RUN: ${error.stack}`)
    process.exit(2)
  }
}
