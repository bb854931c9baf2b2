/** Record of what was sent, answered and run, and the verdict of a case. */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'

export interface Recorder {
  record(what: string, details?: object): void
  /** Writes the record. */
  write(): void
}

export function createRecorder (folder: string): Recorder {
  const lines: string[] = []
  return {
    record (what, details = {}) { lines.push(`${(performance.now() / 1000).toFixed(3)} ${what} ${JSON.stringify(details)}`) },
    write: () => writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`)
  }
}

export const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms))

/** Whether the case is played with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export type Verdict = { broken: boolean, why: string }

/** Longest time that a case may take. */
const MAX_CASE_MS = 110_000

/** Runs a case, ends everything that it started and exits with its verdict. */
export async function playCase (folder: string, play: (recorder: Recorder, onEnd: (end: () => void) => void) => Promise<Verdict>): Promise<never> {
  const recorder = createRecorder(folder)
  const ends: (() => void)[] = []
  let exitCode = 2
  const endAll = () => { for (const end of ends.splice(0).reverse()) end() }
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
    process.once(signal, () => {
      endAll()
      process.exit(2)
    })
  }
  try {
    const verdict = await Promise.race([
      play(recorder, end => ends.push(end)),
      sleep(MAX_CASE_MS).then(() => { throw new Error('the case takes too long') })
    ])
    recorder.record(verdict.broken ? 'BROKEN' : 'HELD', { why: verdict.why })
    process.stdout.write(`${verdict.broken ? 'BROKEN' : 'HELD'}: ${verdict.why}\n`)
    exitCode = verdict.broken ? 1 : 0
  } catch (error) {
    recorder.record('cannot run', { error: String(error) })
    process.stdout.write(`cannot run: ${String(error)}\n`)
  }
  endAll()
  recorder.write()
  process.exit(exitCode)
}
