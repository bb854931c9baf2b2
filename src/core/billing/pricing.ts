/**
 * Computes the cost of requests. Failed attempts are free. A cancelled or partial answer is billed for the prompt, once,
 * and for the delivered tokens. A retried request is billed for the delivered answer only. A cascade is billed for each
 * tier whose answer was completed.
 */
import type { Version } from '../config/types.ts'
import type { RequestId, ServiceId, TeamId, VersionId } from '../ids/index.ts'
import { groupBy } from './group.ts'
import type { BilledOutcome, BillingLine, BillingRecord } from './types.ts'

type Prices = Pick<Version, 'inputMicrosPerToken' | 'outputMicrosPerToken'>

/** Returns the cost in whole micro-units; fractions are rounded up once per line. */
export function priceTokens (prices: Prices, inputTokens: number, outputTokens: number): number {
  const micros = inputTokens * prices.inputMicrosPerToken + outputTokens * prices.outputMicrosPerToken
  // Removes the floating-point error, which would otherwise make 3 micros round up to 4.
  return Math.ceil(Number(micros.toPrecision(12)))
}

/** Token usage of one attempt. Attempts with the same `answer` number continue one answer after a resume. */
export interface AttemptUsage {
  answer: number
  version: VersionId
  prices: Prices
  inputTokens: number
  /** Tokens that were delivered or, for a lower tier of a cascade, completed. */
  outputTokens: number
  /** `failed` means that no text of the attempt stays in the answer. */
  end: 'completed' | 'failed' | 'cancelled' | 'partial'
}

interface AnswerRecordOptions {
  id: string
  request: RequestId
  team: TeamId
  attempts: AttemptUsage[]
  atWallMs: number
}

/** Creates the billing record of one request; undefined when nothing is billed. */
export function createAnswerRecord ({ id, request, team, attempts, atWallMs }: AnswerRecordOptions): BillingRecord | undefined {
  const billed = attempts.filter(attempt => attempt.end !== 'failed')
  const lines = [...groupBy(billed, attempt => attempt.answer).values()].map(createAnswerLine)
  const lastBilled = billed.at(-1)
  if (!lastBilled) return undefined
  const costMicros = lines.reduce((sum, line) => sum + line.costMicros, 0)
  return { id, request, team, outcome: lastBilled.end as BilledOutcome, lines, costMicros, atWallMs }
}

function createAnswerLine (attempts: AttemptUsage[]): BillingLine {
  const { version, prices, inputTokens } = attempts[0]!
  const outputTokens = attempts.reduce((sum, attempt) => sum + attempt.outputTokens, 0)
  return { version, inputTokens, outputTokens, costMicros: priceTokens(prices, inputTokens, outputTokens) }
}

interface ServiceRecordOptions {
  id: string
  request: RequestId
  team: TeamId
  service: ServiceId
  priceMicros: number
  atWallMs: number
}

/** Creates the billing record of one service call. */
export function createServiceRecord ({ id, request, team, service, priceMicros, atWallMs }: ServiceRecordOptions): BillingRecord {
  const line = { service, inputTokens: 0, outputTokens: 0, costMicros: priceMicros }
  return { id, request, team, outcome: 'completed', lines: [line], costMicros: priceMicros, atWallMs }
}
