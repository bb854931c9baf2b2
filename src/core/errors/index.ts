/**
 * Error catalogue and the base class of all errors. Each layer declares its own subclass and converts errors of
 * the layer below with `cause`, so that a caller only meets the errors of the layer it calls.
 */
import { CATALOGUE } from './catalogue.ts'
import type { CatalogueEntry, RunState } from './types.ts'

export type { CatalogueEntry, RunState } from './types.ts'

export type ErrorName = keyof typeof CATALOGUE

interface ErrorOptions {
  /** What happened in this case, in place of the catalogue's general message. */
  detail?: string
  cause?: unknown
  /** When the caller may come back, in milliseconds. */
  retryAfterMs?: number
}

/** Looks up an entry; all names are known at compile time. */
export function catalogueEntry (name: ErrorName): CatalogueEntry {
  return CATALOGUE[name]
}

/** Base class: carries the catalogue entry's name, hint, HTTP status and whether the request may have run. */
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

/** Message of any thrown value, for logs and error details. */
export function errorMessage (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
