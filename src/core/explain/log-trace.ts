/**
 * Explains a request from log lines alone: the lines of the request, and the state changes that the same VM logged
 * shortly before about the request's backend servers and about the VM's dependencies.
 */

export interface LogLine {
  time: string
  level: string
  vm: string
  message: string
  [field: string]: unknown
}

export interface LogTrace {
  request: LogLine[]
  /**
   * State changes that the same VMs logged up to CONTEXT_MS before the request's last line and that concern one of its
   * backend servers or no backend server.
   */
  beliefs: LogLine[]
}

/** Older state changes rarely affect a decision. A store outage that began earlier is logged again when it ends. */
const CONTEXT_MS = 10_000

/** Parses log lines. Text before the first brace, such as the prefix of another log, and lines without JSON are skipped. */
export function parseLogLines (text: string): LogLine[] {
  return text.split('\n').flatMap(line => {
    const start = line.indexOf('{')
    if (start === -1) return []
    try {
      const value = JSON.parse(line.slice(start)) as Partial<LogLine>
      return typeof value.time === 'string' && typeof value.message === 'string' ? [value as LogLine] : []
    } catch {
      return []
    }
  })
}

export function traceRequest (lines: readonly LogLine[], id: string): LogTrace {
  const request = lines.filter(line => line.id === id)
  const lastLine = request.at(-1)
  if (!lastLine) return { request, beliefs: [] }
  const endMs = Date.parse(lastLine.time)
  const vms = new Set(request.map(({ vm }) => vm))
  const backendServers = new Set(request.map(({ backendServer }) => backendServer).filter(Boolean))
  const beliefs = lines.filter(line => {
    if (line.id !== undefined || !vms.has(line.vm)) return false
    const ageMs = endMs - Date.parse(line.time)
    if (ageMs < 0 || ageMs > CONTEXT_MS) return false
    return line.backendServer === undefined || backendServers.has(line.backendServer)
  })
  return { request, beliefs }
}
