/** Reserves the most a call may cost before it is sent, and settles with what it did cost. */
import type { Budget } from '../budget/types.ts'
import type { ConfigView } from '../config/types.ts'
import type { VersionId } from '../ids/index.ts'
import { chatCost, totalCost } from './bill.ts'
import type { Call, ChatCall } from './types.ts'

export interface BudgetDependencies {
  budget: Budget
  view: ConfigView
}

/** Reserves for one more version; a token is never shorter than one character. Throws BudgetError. */
export async function reserveBudget ({ budget, view }: BudgetDependencies, call: ChatCall, version: VersionId): Promise<void> {
  const characters = call.body.messages.reduce((sum, message) => sum + message.content.length, 0)
  await reserve(budget, call, chatCost(view, version, characters, call.body.maxTokens))
}

export async function reserve (budget: Budget, call: Call, estimateMicros: number): Promise<void> {
  const reservation = await budget.reserve(call.team, estimateMicros)
  call.reservations.push({ estimateMicros, reservation })
}

/** Spreads the cost over the reservations in their order. */
export function settleBudget (call: Call): void {
  let left = totalCost(call.lines)
  const last = call.reservations.length - 1
  for (const [index, { estimateMicros, reservation }] of call.reservations.entries()) {
    const cost = index === last ? left : Math.min(left, estimateMicros)
    left -= cost
    reservation.settle(cost)
  }
  call.reservations = []
}
