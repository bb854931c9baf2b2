/** Types of the list of VMs that callers can connect to. */
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
  /** Lists the entry points; `dataCentre` is the data centre of the caller, whose VMs are listed first. */
  list(options?: { dataCentre?: DataCentreId | undefined }): EntryPointList
}
