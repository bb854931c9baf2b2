/** Forms billing records and waits until they are kept safe. */
import type { Billing, BilledOutcome, BillingLine, BillingRecord } from '../billing/types.ts'
import type { Clock } from '../clock/index.ts'
import type { ConfigView } from '../config/types.ts'
import type { CompletionUsage } from '../engine/types.ts'
import { GatewayError } from '../errors/index.ts'
import type { Explain } from '../explain/types.ts'
import type { VersionId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Call } from './types.ts'

export interface BillDependencies {
  billing: Billing
  explain: Explain
  clock: Clock
  metrics: Metrics
}

/** Cost of tokens of a version; a version that was deleted meanwhile costs nothing. */
export function chatCost (view: ConfigView, version: VersionId, inputTokens: number, outputTokens: number): number {
  const spec = view.get('Version', version)
  if (!spec) return 0
  return Math.ceil(inputTokens * spec.inputMicrosPerToken + outputTokens * spec.outputMicrosPerToken)
}

export function chatLine (view: ConfigView, version: VersionId, { inputTokens, outputTokens }: Pick<CompletionUsage, 'inputTokens' | 'outputTokens'>): BillingLine {
  return { version, inputTokens, outputTokens, costMicros: chatCost(view, version, inputTokens, outputTokens) }
}

export function totalCost (lines: readonly BillingLine[]): number {
  return lines.reduce((sum, line) => sum + line.costMicros, 0)
}

/** Resolves when the record of the call's lines is safe. Throws GatewayError `billing_lost`. */
export async function recordBill ({ billing, explain, clock, metrics }: BillDependencies, call: Call, outcome: BilledOutcome): Promise<void> {
  const costMicros = totalCost(call.lines)
  const record: BillingRecord = {
    id: call.billingId,
    request: call.request,
    team: call.team,
    outcome,
    lines: call.lines,
    costMicros,
    atWallMs: clock.wallMs()
  }
  try {
    await billing.record(record)
  } catch (error) {
    metrics.count('refusals', 'billing_lost')
    throw new GatewayError('billing_lost', { cause: error })
  }
  explain.setCost(call.request, costMicros)
  explain.add(call.request, 'billed', `${outcome}, ${costMicros} micros`)
}
