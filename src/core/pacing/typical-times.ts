/**
 * Typical time of each class of answers, over all backend servers. It is the reference for the speed of one server, so a
 * class must contain only answers that take comparable work. Averages of logarithms limit the effect of single slow answers.
 */
import { hashText } from '../placement/rendezvous.ts'
import { MAX_CLASSES, MIN_CLASS_ANSWERS, REFERENCE_WEIGHT, VALUE_SCALE } from './constants.ts'
import type { AnswerClass } from './types.ts'

export interface TypicalTimes {
  record(classId: number, value: number): void
  /** Logarithmic typical value of a class; `undefined` before the first answer. */
  valueOf(classId: number): number | undefined
  /** Typical time in milliseconds; `undefined` while there are too few answers. */
  msOf(classId: number): number | undefined
}

const SIGNALS = ['first', 'gap', 'whole'] as const

/** Number of a class, the same on all VMs; its remainder by 4 is the signal. */
export function classIdOf ({ signal, name }: AnswerClass): number {
  return (hashText(name) >>> 10) * 4 + SIGNALS.indexOf(signal)
}

export function signalOf (classId: number): AnswerClass['signal'] | undefined {
  return SIGNALS[classId % 4]
}

export function toValue (ms: number): number {
  return Math.round(VALUE_SCALE * Math.log(Math.max(0.1, ms)))
}

export function createTypicalTimes (): TypicalTimes {
  const references = new Map<number, { value: number, answers: number }>()
  return {
    record (classId, value) {
      const reference = references.get(classId)
      if (reference) {
        reference.answers++
        reference.value += Math.max(REFERENCE_WEIGHT, 1 / reference.answers) * (value - reference.value)
        // Classes that are still in use come last, so that they are not dropped.
        references.delete(classId)
        references.set(classId, reference)
        return
      }
      if (references.size >= MAX_CLASSES) references.delete(references.keys().next().value!)
      references.set(classId, { value, answers: 1 })
    },
    valueOf: classId => references.get(classId)?.value,
    msOf (classId) {
      const reference = references.get(classId)
      return reference && reference.answers >= MIN_CLASS_ANSWERS ? Math.exp(reference.value / VALUE_SCALE) : undefined
    }
  }
}
