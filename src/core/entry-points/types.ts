/** Types of the answer that tells callers which VMs to connect to. */
import type { DataCentreId, VmId } from '../ids/index.ts'

export interface EntryPoint {
  vm: VmId
  /** Base URL. */
  url: string
  data_centre: DataCentreId
}

export interface EntryPointList {
  /** In the order in which the caller should try them. */
  entry_points: EntryPoint[]
  /** Seconds for which the caller may keep the list. */
  max_age_s: number
}

export interface EntryPoints {
  /** `dataCentre` is the data centre of the caller; its VMs come first. */
  answer(options?: { dataCentre?: DataCentreId | undefined }): EntryPointList
}
