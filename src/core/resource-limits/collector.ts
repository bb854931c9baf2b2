/** Runs V8's garbage collection on request, which Node exposes only by a flag. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

export function createCollector (): () => void {
  let collect: (() => void) | undefined
  return () => {
    if (!collect) {
      setFlagsFromString('--expose-gc')
      collect = runInNewContext('gc') as () => void
    }
    collect()
  }
}
