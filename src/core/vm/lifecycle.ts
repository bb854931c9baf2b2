/** Lifecycle phases of a VM's process, which determine whether it accepts requests. */

export type Phase = 'starting' | 'serving' | 'leaving' | 'stopped'

/** Reason why new requests are refused, as the name of an error in the catalogue. */
export type WorkRefusal = 'vm_not_ready' | 'vm_leaving' | 'vm_isolated'

export interface Lifecycle {
  phase(): Phase
  enter(phase: Phase): void
  refusal(): WorkRefusal | undefined
  isAcceptingRequests(): boolean
}

export interface LifecycleOptions {
  isIsolated: () => boolean
  /** Whether an operator took this VM or its data centre out of service. */
  isOutOfService: () => boolean
  onChange?: (phase: Phase) => void
}

export function createLifecycle ({ isIsolated, isOutOfService, onChange = () => {} }: LifecycleOptions): Lifecycle {
  let phase: Phase = 'starting'

  function refusal (): WorkRefusal | undefined {
    if (phase === 'starting') return 'vm_not_ready'
    if (phase !== 'serving' || isOutOfService()) return 'vm_leaving'
    if (isIsolated()) return 'vm_isolated'
    return undefined
  }

  return {
    phase: () => phase,
    enter (next) {
      phase = next
      onChange(next)
    },
    refusal,
    isAcceptingRequests: () => refusal() === undefined
  }
}
