/** Waits for the signals that ask the process to stop. */
export function waitForStopSignal (): Promise<void> {
  return new Promise(resolve => {
    process.once('SIGTERM', () => resolve())
    process.once('SIGINT', () => resolve())
  })
}
