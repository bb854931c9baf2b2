import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['dist', 'target', 'node_modules'] }),
  {
    rules: {
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'no-void': 'off'
    }
  }
]
