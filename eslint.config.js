import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'node_modules/**'] }),
  {
    files: ['**/*.ts'],
    rules: {
      // A constant object and the type of its values share one name; the compiler checks redeclarations.
      '@typescript-eslint/no-redeclare': 'off'
    }
  }
]
