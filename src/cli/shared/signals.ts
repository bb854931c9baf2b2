/**
 * Resolves when the process receives SIGTERM or SIGINT. A second SIGTERM has no effect, because it would end the process
 * with its open requests; a second SIGINT, which a person sends, does end it.
 */
export function waitForStopSignal (): Promise<void> {
  return new Promise(resolve => {
    process.on('SIGTERM', () => resolve())
    process.once('SIGINT', () => resolve())
  })
}
