const config = [
	{ignores: ['**/dist/**']},
	{
		files: ['**/*.ts'],
		rules: {
			// The tests run compiled, from `dist`; the `files` setting of AVA says so.
			'ava/no-ignored-test-files': 'off',
			// The constructors of purify-ts are functions with a capital letter.
			'new-cap': ['error', {newIsCap: true, capIsNew: true, capIsNewExceptions: ['Left', 'Right', 'Just', 'Nothing', 'EitherAsync', 'MaybeAsync']}],
			// A branded id and a schema's output are narrowed once, where they are checked.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
		},
	},
];

export default config;
