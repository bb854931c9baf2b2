/** Resolves when the process receives SIGTERM or SIGINT. */
export function waitForStopSignal (): Promise<void> {
  return new Promise(resolve => {
    process.once('SIGTERM', () => resolve())
    process.once('SIGINT', () => resolve())
  })
}
