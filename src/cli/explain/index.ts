/** `lacewingstage explain`: why a request was served as it was. */
import type { Sade } from 'sade'
import type { ExplainTrace } from '../../core/explain/index.ts'
import { callOperatorApi } from '../shared/operator-client.ts'
import { connectionOf, withOperatorOptions, type OperatorOptions } from '../shared/options.ts'
import { runCommand } from '../shared/run-command.ts'
import { formatTable, printResult } from '../shared/table.ts'

export function registerExplain (program: Sade): void {
  withOperatorOptions(program.command('explain <request>'))
    .describe('Tells the candidates of a request, why each was passed over, what was retried and what it cost.')
    .example('explain req-0123456789abcdef')
    .action(runCommand(explain))
}

async function explain (request: string, options: OperatorOptions): Promise<void> {
  const path = `/explain/${encodeURIComponent(request)}`
  const trace = await callOperatorApi<ExplainTrace>(connectionOf(options), { method: 'GET', path })
  const rows = trace.steps.map(({ atMs, step, text }) => [atMs.toFixed(1), step, text])
  const cost = trace.costMicros === undefined ? 'not billed yet' : `${trace.costMicros} micros`
  printResult(options.json, trace, `request ${trace.request}, team ${trace.team}, cost: ${cost}\n${formatTable(['ms', 'step', 'what'], rows)}`)
}
