/** Starts and stops processes of the bundled program for integration tests. Signals go only to these child processes. */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'

export const PROGRAM = 'dist/lacewingstage.cjs'
const MAX_LOG_LINES = 200

export interface RunningProcess {
  child: ChildProcess
  /** Parsed JSON of the first line on standard output. */
  details: Record<string, unknown>
  /** Last lines of standard error, for the error message when the process exits early. */
  log: string[]
  kill(): Promise<void>
  /** Requests a graceful shutdown by SIGTERM and returns the exit code. */
  terminate(): Promise<number | null>
  pause(): void
  resume(): void
}

const started = new Set<ChildProcess>()
process.once('exit', () => {
  for (const child of started) child.kill('SIGKILL')
})

/** Starts the program, or another build of it, with additional environment variables, and resolves once it has printed its first line, which is JSON. */
export async function startProcess (args: string[], variables: Record<string, string> = {}, program = PROGRAM): Promise<RunningProcess> {
  const child = spawn(process.execPath, [program, ...args], { stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...variables } })
  started.add(child)
  child.once('exit', () => started.delete(child))
  const log: string[] = []
  createInterface({ input: child.stderr! }).on('line', line => {
    log.push(line)
    if (log.length > MAX_LOG_LINES) log.shift()
  })
  const details = await readFirstLine(child, log, args)
  return {
    child,
    details,
    log,
    kill: () => signalAndWaitForExit(child, 'SIGKILL').then(() => undefined),
    terminate: () => signalAndWaitForExit(child, 'SIGTERM'),
    pause: () => { child.kill('SIGSTOP') },
    resume: () => { child.kill('SIGCONT') }
  }
}

async function signalAndWaitForExit (child: ChildProcess, signal: NodeJS.Signals): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) return child.exitCode
  const exited = once(child, 'exit')
  child.kill(signal)
  if (signal === 'SIGKILL') child.kill('SIGCONT')
  await exited
  return child.exitCode
}

function readFirstLine (child: ChildProcess, log: string[], args: string[]): Promise<Record<string, unknown>> {
  return new Promise((resolve, reject) => {
    createInterface({ input: child.stdout! }).once('line', line => resolve(JSON.parse(line) as Record<string, unknown>))
    child.once('exit', code => reject(new Error(`${args.join(' ')} exited with ${code}:\n${log.join('\n')}`)))
  })
}
