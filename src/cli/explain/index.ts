/** `lacewingstage explain`: shows how a request was routed, and why, from a VM's trace or from log lines. */
import { readFileSync } from 'node:fs'
import type { Sade } from 'sade'
import type { ExplainTrace } from '../../core/explain/index.ts'
import { parseLogLines, traceRequest, type LogLine } from '../../core/explain/log-trace.ts'
import { CommandError } from '../shared/command-error.ts'
import { EXIT_CODES } from '../shared/exit-codes.ts'
import { callOperatorApi } from '../shared/operator-client.ts'
import { connectionOf, withOperatorOptions, type OperatorOptions } from '../shared/options.ts'
import { runCommand } from '../shared/run-command.ts'
import { formatTable, printResult } from '../shared/table.ts'

export function registerExplain (program: Sade): void {
  withOperatorOptions(program.command('explain <request>'))
    .describe('Shows how a request was routed: the candidates, why others were passed over, the retries and the cost.')
    .example('explain req-0123456789abcdef')
    .option('--log', 'Explain from the log lines in a file instead; - reads standard input')
    .example('explain 9c41d07be2a35f68 --log vm-1.log')
    .action(runCommand(explain))
}

async function explain (request: string, options: OperatorOptions & { log?: string }): Promise<void> {
  if (options.log !== undefined) return explainFromLog(request, options.log, options.json)

  const path = `/explain/${encodeURIComponent(request)}`
  const trace = await callOperatorApi<ExplainTrace>(connectionOf(options), { method: 'GET', path })
  const rows = trace.steps.map(({ atMs, step, text }) => [atMs.toFixed(1), step, text])
  const cost = trace.costMicros === undefined ? 'not billed yet' : `${trace.costMicros} micros`
  printResult(options.json, trace, `request ${trace.request}, team ${trace.team}, cost: ${cost}\n${formatTable(['ms', 'step', 'what'], rows)}`)
}

function explainFromLog (request: string, file: string, json: boolean): void {
  const lines = parseLogLines(readFileSync(file === '-' ? 0 : file, 'utf8'))
  const trace = traceRequest(lines, request)
  if (trace.request.length === 0) throw new CommandError(`no log line for request ${request} in ${file}`, EXIT_CODES.usage)
  const toRows = (logLines: LogLine[]) => logLines.map(({ time, vm, level: _level, message, id: _id, ...fields }) => [time, vm, message, JSON.stringify(fields)])
  const formatLines = (logLines: LogLine[]) => formatTable(['time', 'vm', 'what', 'inputs'], toRows(logLines))
  printResult(json, trace, `request ${request}\n${formatLines(trace.request)}\n\nrelated log lines of the same VM\n${formatLines(trace.beliefs)}`)
}
