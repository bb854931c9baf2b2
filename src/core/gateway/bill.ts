/** Creates billing records and waits until a witness or the object API holds them. */
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

/** Returns the cost of the tokens in micro-units of currency, or 0 if the version was deleted in the meantime. */
export function chatCost (view: ConfigView, version: VersionId, inputTokens: number, outputTokens: number): number {
  const spec = view.get('Version', version)
  if (!spec) return 0
  return Math.ceil(inputTokens * spec.inputMicrosPerToken + outputTokens * spec.outputMicrosPerToken)
}

export function chatBillingLine (view: ConfigView, version: VersionId, { inputTokens, outputTokens }: Pick<CompletionUsage, 'inputTokens' | 'outputTokens'>): BillingLine {
  return { version, inputTokens, outputTokens, costMicros: chatCost(view, version, inputTokens, outputTokens) }
}

export function totalCost (lines: readonly BillingLine[]): number {
  return lines.reduce((sum, line) => sum + line.costMicros, 0)
}

/**
 * Resolves when a witness or the object API holds the record with the call's billing lines. Throws GatewayError
 * `billing_lost`.
 */
export async function recordBill ({ billing, explain, clock, metrics }: BillDependencies, call: Call, outcome: BilledOutcome): Promise<void> {
  const costMicros = totalCost(call.billingLines)
  const record: BillingRecord = {
    id: call.billingId,
    request: call.request,
    team: call.team,
    outcome,
    lines: call.billingLines,
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
