import tseslint from 'typescript-eslint';

export default tseslint.config(
  {ignores: ['build/', 'target/', 'node_modules/', 'src/lib/wire/generated/']},
  ...tseslint.configs.recommended,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      eqeqeq: 'error',
      curly: ['error', 'multi-line'],
      'no-var': 'error',
      'prefer-const': 'error',
      'no-throw-literal': 'error',
      'no-restricted-exports': [
        'error',
        {restrictDefaultExports: {direct: true, named: true}},
      ],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'enumMember', format: ['UPPER_CASE']},
        {selector: 'function', format: ['camelCase']},
        {selector: 'classMethod', format: ['camelCase']},
      ],
    },
  },
  {
    files: ['test/**/*.ts'],
    rules: {'@typescript-eslint/no-unused-expressions': 'off'},
  },
);
