const config = [
	{ignores: ['**/dist/**']},
	{
		files: ['**/*.ts'],
		rules: {
			// The tests run compiled, from `dist`; the `files` setting of AVA says so.
			'ava/no-ignored-test-files': 'off',
			// A branded id and a schema's output are narrowed once, where they are checked.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
		},
	},
];

export default config;
