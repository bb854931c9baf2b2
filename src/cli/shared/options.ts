/** Options that the commands for operators share. */
import type { Sade } from 'sade'
import type { OperatorConnection } from './operator-client.ts'

export interface OperatorOptions {
  url: string
  /** Undefined when the key comes from the environment. That key is not the option's default, because help texts show defaults. */
  key?: string
  json: boolean
}

export interface ChangeOptions extends OperatorOptions {
  wait: boolean
  'wait-timeout-ms': number
}

const DEFAULT_URL = 'http://127.0.0.1:7400'
const DEFAULT_WAIT_TIMEOUT_MS = 9000

export function withOperatorOptions (command: Sade): Sade {
  return command
    .option('--url', 'Base URL of any VM (environment: LACEWINGSTAGE_URL)', process.env['LACEWINGSTAGE_URL'] ?? DEFAULT_URL)
    .option('--key', 'Operator key (environment: LACEWINGSTAGE_KEY)')
    .option('--json', 'Print JSON for scripts', false)
}

export function withChangeOptions (command: Sade): Sade {
  return withOperatorOptions(command)
    .option('--wait', 'Wait until the change is in force on all VMs', false)
    .option('--wait-timeout-ms', 'Longest time to wait, in milliseconds', DEFAULT_WAIT_TIMEOUT_MS)
}

export function connectionOf (options: OperatorOptions): OperatorConnection {
  const key = options.key ?? process.env['LACEWINGSTAGE_KEY'] ?? ''
  return { url: options.url.replace(/\/+$/, ''), key: String(key) }
}
