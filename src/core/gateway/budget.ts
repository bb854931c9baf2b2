/** Reserves the maximum cost of a call before it is sent, and settles the actual cost when the call ends. */
import type { Budget } from '../budget/types.ts'
import type { ConfigView } from '../config/types.ts'
import type { VersionId } from '../ids/index.ts'
import { chatCost, totalCost } from './bill.ts'
import type { Call, ChatCall } from './types.ts'

export interface BudgetDependencies {
  budget: Budget
  view: ConfigView
}

/**
 * Reserves the maximum cost of running the call on a version, in addition to earlier reservations. Every token has at
 * least one character, so the number of characters is an upper bound for the prompt tokens. Throws BudgetError.
 */
export async function reserveForVersion ({ budget, view }: BudgetDependencies, call: ChatCall, version: VersionId): Promise<void> {
  const characters = call.body.messages.reduce((sum, message) => sum + message.content.length, 0)
  await reserve(budget, call, chatCost(view, version, characters, call.body.maxTokens))
}

export async function reserve (budget: Budget, call: Call, estimateMicros: number): Promise<void> {
  const reservation = await budget.reserve(call.team, estimateMicros)
  call.reservations.push({ estimateMicros, reservation })
}

/**
 * Distributes the total cost over the reservations in order, each up to its estimate. The last one receives the
 * remainder.
 */
export function settleBudget (call: Call): void {
  let remainingMicros = totalCost(call.billingLines)
  const last = call.reservations.length - 1
  for (const [index, { estimateMicros, reservation }] of call.reservations.entries()) {
    const cost = index === last ? remainingMicros : Math.min(remainingMicros, estimateMicros)
    remainingMicros -= cost
    reservation.settle(cost)
  }
  call.reservations = []
}
