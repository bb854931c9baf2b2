/** Converts between StoredObject and the wire format, which follows the Kubernetes API conventions. */
import { API_PREFIX, API_VERSION, BASE_VERSION_ANNOTATION, WRITE_ID_ANNOTATION } from './constants.ts'
import type { ObjectKind, StoredObject, WatchEvent } from './types.ts'

export interface WireObject {
  apiVersion?: string
  kind?: string
  metadata: { name: string, resourceVersion?: string, annotations?: Record<string, string> }
  spec?: unknown
}

export interface WireEvent {
  type: WatchEvent['type'] | 'ERROR'
  object: WireObject & { code?: number, message?: string }
}

export interface VersionedObject<Spec = unknown> {
  object: StoredObject<Spec>
  /** Version that the last write of the object replaced; undefined when the writer did not set the annotation. */
  baseVersion: number | undefined
}

export interface WriteBody {
  kind: ObjectKind
  name: string
  spec: unknown
  writeId: string
  /** Version that the write replaces, 0 for a create. */
  baseVersion: number
}

export function collectionPath (kind: ObjectKind): string {
  return `${API_PREFIX}/${kind}`
}

export function objectPath (kind: ObjectKind, name: string): string {
  return `${collectionPath(kind)}/${encodeURIComponent(name)}`
}

export function encodeObject ({ kind, name, spec, writeId, baseVersion }: WriteBody): WireObject {
  const annotations = { [WRITE_ID_ANNOTATION]: writeId, [BASE_VERSION_ANNOTATION]: String(baseVersion) }
  const version = baseVersion === 0 ? {} : { resourceVersion: String(baseVersion) }
  return { apiVersion: API_VERSION, kind, metadata: { name, annotations, ...version }, spec }
}

export function decodeVersioned<Spec> (kind: ObjectKind, wire: WireObject): VersionedObject<Spec> {
  const baseVersion = wire.metadata.annotations?.[BASE_VERSION_ANNOTATION]
  return { object: decodeObject(kind, wire), baseVersion: baseVersion === undefined ? undefined : Number(baseVersion) }
}

export function decodeObject<Spec> (kind: ObjectKind, { metadata, spec }: WireObject): StoredObject<Spec> {
  return {
    kind,
    name: metadata.name,
    resourceVersion: Number(metadata.resourceVersion),
    spec: spec as Spec,
    writeId: metadata.annotations?.[WRITE_ID_ANNOTATION] ?? ''
  }
}
