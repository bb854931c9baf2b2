/**
 * Branded identifier types. A brand prevents, for example, passing a version id where a team id is expected; at run
 * time every id is a plain string.
 */
import { randomBytes } from 'node:crypto'

declare const brand: unique symbol
type Branded<Name extends string> = string & { readonly [brand]: Name }

export type VmId = Branded<'VmId'>
export type DataCentreId = Branded<'DataCentreId'>
export type RegionId = Branded<'RegionId'>
export type TeamId = Branded<'TeamId'>
export type ModelId = Branded<'ModelId'>
export type VersionId = Branded<'VersionId'>
export type BackendServerId = Branded<'BackendServerId'>
export type ServiceId = Branded<'ServiceId'>
export type OperatorId = Branded<'OperatorId'>
export type RequestId = Branded<'RequestId'>
export type SessionId = Branded<'SessionId'>
export type PermitId = Branded<'PermitId'>
/** Identifies one run of a VM's process; each restart has a new id. */
export type BootId = Branded<'BootId'>

/** Converts a string that the caller has validated or generated to an id type, without a check. */
export function brandId<Id extends string> (value: string): Id {
  return value as Id
}

/** Returns a random id of 16 hexadecimal digits after the prefix. */
export function randomId<Id extends string> (prefix: string): Id {
  return `${prefix}-${randomBytes(8).toString('hex')}` as Id
}
