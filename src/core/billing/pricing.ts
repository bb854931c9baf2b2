/**
 * Prices of answers. Failed attempts are free. A cancelled or partial answer costs the prompt once and the delivered
 * tokens. A retried request costs the delivered answer only. A cascade costs each tier whose answer was completed.
 */
import type { Version } from '../config/types.ts'
import type { RequestId, ServiceId, TeamId, VersionId } from '../ids/index.ts'
import { groupBy } from './group.ts'
import type { BilledOutcome, BillingLine, BillingRecord } from './types.ts'

type Prices = Pick<Version, 'inputMicrosPerToken' | 'outputMicrosPerToken'>

/** Cost in whole micro-units; fractions are rounded up once per line. */
export function priceTokens (prices: Prices, inputTokens: number, outputTokens: number): number {
  const micros = inputTokens * prices.inputMicrosPerToken + outputTokens * prices.outputMicrosPerToken
  // Removes the error of binary fractions, which would otherwise round 3 micros up to 4.
  return Math.ceil(Number(micros.toPrecision(12)))
}

/** One run on a backend server. Parts with the same `answer` number continue one answer after a resume. */
export interface AnswerPart {
  answer: number
  version: VersionId
  prices: Prices
  inputTokens: number
  /** Tokens that were delivered or, for a lower tier of a cascade, completed. */
  outputTokens: number
  /** `failed` parts delivered nothing that the caller keeps. */
  end: 'completed' | 'failed' | 'cancelled' | 'partial'
}

interface AnswerRecordOptions {
  id: string
  request: RequestId
  team: TeamId
  parts: AnswerPart[]
  atWallMs: number
}

/** Forms the record of one request; undefined when nothing is billed. */
export function answerRecord ({ id, request, team, parts, atWallMs }: AnswerRecordOptions): BillingRecord | undefined {
  const billed = parts.filter(part => part.end !== 'failed')
  const lines = [...groupBy(billed, part => part.answer).values()].map(answerLine)
  const last = billed.at(-1)
  if (!last) return undefined
  const costMicros = lines.reduce((sum, line) => sum + line.costMicros, 0)
  return { id, request, team, outcome: last.end as BilledOutcome, lines, costMicros, atWallMs }
}

function answerLine (parts: AnswerPart[]): BillingLine {
  const { version, prices, inputTokens } = parts[0]!
  const outputTokens = parts.reduce((sum, part) => sum + part.outputTokens, 0)
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

/** Forms the record of one call of a plain service. */
export function serviceRecord ({ id, request, team, service, priceMicros, atWallMs }: ServiceRecordOptions): BillingRecord {
  const line = { service, inputTokens: 0, outputTokens: 0, costMicros: priceMicros }
  return { id, request, team, outcome: 'completed', lines: [line], costMicros: priceMicros, atWallMs }
}
