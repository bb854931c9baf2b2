/** Results of a check of a configuration before it is sent. */

/** Something in a configuration that an operator should look at. */
export interface Finding {
  /** The product rejects a configuration with an error; it accepts one with warnings. */
  severity: 'error' | 'warning'
  /** Where it stands, such as `routes.2` or `Contract.a.deadlineMs`. */
  path: string
  /** Value found; `undefined` if there is none. */
  value?: unknown
  message: string
  hint: string
}

/** A change in meaning against the version in force. */
export interface Difference {
  subject: string
  change: string
  /** What callers or teams lose by it; `undefined` if nothing. */
  loss?: string
}

/** Limits of the deployment that a configuration has to fit. */
export interface DeploymentLimits {
  /** Retries that all VMs may send to a service, as a share of its requests. */
  retryShare?: number | undefined
  retrySlack?: number | undefined
  /** Memory of the smallest VM. */
  memoryBytes?: number | undefined
}
