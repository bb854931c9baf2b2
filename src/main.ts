/**
 * Entry point of the command line program. The command that runs a VM on the users' platform does not load the other
 * commands and their libraries, because their load time would add to every restart.
 */
import 'reflect-metadata'

const PLATFORM_COMMAND = 'platform'

async function main (): Promise<void> {
  if (process.argv[2] === PLATFORM_COMMAND && process.argv.length === 3) {
    const { runOnPlatform } = await import('../platform/index.ts')
    return await runOnPlatform()
  }
  const [{ run }, { parseConfig }] = await Promise.all([import('./cli/index.ts'), import('../platform/decode.ts')])
  await run(process.argv, { parseTrafficConfig: parseConfig })
}

main().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`)
  process.exitCode = 1
})
