/**
 * Access to the error catalogue, the base class of all errors and a subclass for each layer. A layer wraps the errors of
 * the layer below as `cause`, so that a caller only handles errors of the layer that it calls.
 */
import { CATALOGUE } from './catalogue.ts'
import type { CatalogueEntry, RunState } from './types.ts'

export type { CatalogueEntry, RunState } from './types.ts'

export type ErrorName = keyof typeof CATALOGUE

interface ErrorOptions {
  /** Specific message that replaces the catalogue's general message. */
  detail?: string
  cause?: unknown
  /** Delay in milliseconds after which the caller may retry. */
  retryAfterMs?: number
}

/** Returns the entry of an error name; names are checked at compile time. */
export function catalogueEntry (name: ErrorName): CatalogueEntry {
  return CATALOGUE[name]
}

/** Base class of all errors, with the fields of the catalogue entry. */
export class LacewingError extends Error {
  readonly kind: ErrorName
  readonly hint: string
  readonly httpStatus: number
  readonly run: RunState
  readonly retryAfterMs: number | undefined

  constructor (kind: ErrorName, { detail, cause, retryAfterMs }: ErrorOptions = {}) {
    const entry = catalogueEntry(kind)
    super(detail ?? entry.message, cause === undefined ? undefined : { cause })
    this.name = new.target.name
    this.kind = kind
    this.hint = entry.hint
    this.httpStatus = entry.httpStatus
    this.run = entry.run
    this.retryAfterMs = retryAfterMs
  }
}

export class SettingsError extends LacewingError {}
export class ObjectApiError extends LacewingError {}
export class ConfigError extends LacewingError {}
export class PeerError extends LacewingError {}
export class AdmissionError extends LacewingError {}
export class ClaimError extends LacewingError {}
export class BillingError extends LacewingError {}
export class BudgetError extends LacewingError {}
export class RoutingError extends LacewingError {}
export class EngineError extends LacewingError {}
export class GatewayError extends LacewingError {}
export class OperatorError extends LacewingError {}

/** Returns the message of any thrown value, for logs and error details. */
export function errorMessage (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
