/** `lacewingstage dev`: runs a small fleet on loopback that serves sample requests, as a demonstration. */
import type { Sade } from 'sade'
import { readBills } from '../../core/billing/index.ts'
import { createMetrics } from '../../core/metrics/index.ts'
import { createObjectApi } from '../../core/object-api/index.ts'
import { systemClock } from '../../core/clock/index.ts'
import type { ExplainTrace } from '../../core/explain/index.ts'
import { callOperatorApi } from '../shared/operator-client.ts'
import { CommandError } from '../shared/command-error.ts'
import { EXIT_CODES } from '../shared/exit-codes.ts'
import { runCommand } from '../shared/run-command.ts'
import { waitForStopSignal } from '../shared/signals.ts'
import { formatTable } from '../shared/table.ts'
import { startDevFleet, type DevFleet } from './dev-fleet.ts'
import { SAMPLE_OPERATOR_KEY, SAMPLE_TEAM_KEY } from './sample-config.ts'
import { EXPECTED_STATUS, sendSamples, type SampleResult } from './samples.ts'

interface DevOptions {
  once: boolean
  'port-base': number
}

const DEFAULT_PORT_BASE = 7400
/** Wait before the bills are read, so that the billing batches are stored; they are written every 500 ms. */
const BILLING_SETTLE_MS = 1500

export function registerDev (program: Sade): void {
  program
    .command('dev')
    .describe('Starts a small fleet with stand-ins in this process, sends sample requests and keeps running.')
    .option('--once', 'Stop after the samples; fails when one returns an unexpected status', false)
    .option('--port-base', 'Port of the first VM; 0 chooses free ports', DEFAULT_PORT_BASE)
    .example('dev --once')
    .action(runCommand(dev))
}

async function dev ({ once, 'port-base': portBase }: DevOptions): Promise<void> {
  const fleet = await startDevFleet({ portBase: Number(portBase) })
  try {
    const results = await sendSamples(fleet.vms.map(vm => vm.callerUrl))
    await systemClock.sleep(BILLING_SETTLE_MS)
    await printResults(fleet, results)
    if (once) return checkResults(results)
    printHints(fleet)
    await waitForStopSignal()
  } finally {
    await fleet.stop()
  }
}

async function printResults (fleet: DevFleet, results: SampleResult[]): Promise<void> {
  const rows = await Promise.all(results.map(async result => {
    const { title, vmUrl, status, version, answer } = result
    return [title, vmUrl, status, version, await costOf(fleet, result), answer]
  }))
  process.stdout.write(formatTable(['sample', 'VM', 'status', 'version', 'cost (micros)', 'answer'], rows) + '\n\n')
  const objectApi = createObjectApi({ url: fleet.objectApiUrl, clock: systemClock, metrics: createMetrics() })
  const bills = await readBills({ objectApi })
  const billRows = [...bills.totals].map(([team, { records, costMicros }]) => [team, records, costMicros])
  process.stdout.write(formatTable(['team', 'billed requests', 'billed (micros)'], billRows) + '\n')
}

async function costOf (fleet: DevFleet, { requestId }: SampleResult): Promise<string> {
  if (requestId === '') return '-'
  try {
    const connection = { url: fleet.vms[0]!.callerUrl, key: SAMPLE_OPERATOR_KEY }
    const { costMicros } = await callOperatorApi<ExplainTrace>(connection, { method: 'GET', path: `/explain/${requestId}` })
    return costMicros === undefined ? '-' : String(costMicros)
  } catch {
    return '-'
  }
}

function checkResults (results: SampleResult[]): void {
  const unexpected = results.filter(({ status }, index) => status !== EXPECTED_STATUS[index])
  if (unexpected.length === 0) return
  const lines = unexpected.map(({ title, status, answer }) => `${title}: status ${status}: ${answer}`)
  throw new CommandError(lines.join('\n'), EXIT_CODES.failed)
}

function printHints ({ vms }: DevFleet): void {
  const url = vms[0]!.callerUrl
  process.stdout.write([
    '',
    `The fleet serves on ${vms.map(vm => vm.callerUrl).join(', ')}. Try:`,
    `  curl ${url}/v1/chat/completions -H 'authorization: Bearer ${SAMPLE_TEAM_KEY}' -H 'content-type: application/json' \\`,
    '    -d \'{"model":"kit-model","messages":[{"role":"user","content":"hello"}]}\'',
    `  LACEWINGSTAGE_URL=${url} LACEWINGSTAGE_KEY=${SAMPLE_OPERATOR_KEY} node dist/lacewingstage.cjs status`,
    'Press Ctrl+C to stop.',
    ''
  ].join('\n'))
}
