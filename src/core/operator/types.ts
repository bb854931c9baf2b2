/** Types of the operator HTTP API. */
import type { Log } from '../logging/index.ts'
import type { Clock } from '../clock/index.ts'
import type { ConfigController } from '../config/index.ts'
import type { ConfigView } from '../config/types.ts'
import type { Explain } from '../explain/types.ts'
import type { DataCentreId, VmId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'

/** Caller of the API; a bootstrap caller may only create the first Operator object. */
export interface OperatorCaller {
  name: string
  bootstrap: boolean
}

export interface Credentials {
  /** Value of the Authorization header. */
  authorization: string | undefined
  remoteAddress: string
}

/** Throws OperatorError `unauthenticated` or `key_expired`. */
export type AuthenticateOperator = (credentials: Credentials) => OperatorCaller

export interface OperatorRoutesOptions {
  config: ConfigController
  view: ConfigView
  authenticate: AuthenticateOperator
  /** Returns the response body of GET /operator/v1/status. */
  status: () => unknown
  /** Returns the data centre of a VM of the region; undefined for an unknown VM. */
  dataCentreOfVm: (vm: VmId) => DataCentreId | undefined
  explain: Pick<Explain, 'find'>
  clock: Clock
  metrics: Metrics
  log: Log
}
