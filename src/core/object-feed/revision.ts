/** Order of the store's revisions. */

/**
 * Position in the store's sequence of changes. When the store is restored from an older copy, its era rises and revision
 * numbers are given out again, so numbers are comparable within one era only.
 */
export interface Revision { era: number, number: number }

/** Whether `revision` is later than `other`: in a later era, or with a higher number in the same era. */
export function isAfter (revision: Revision, other: Revision): boolean {
  return revision.era === other.era ? revision.number > other.number : revision.era > other.era
}

export function isSameRevision (revision: Revision, other: Revision): boolean {
  return revision.era === other.era && revision.number === other.number
}
