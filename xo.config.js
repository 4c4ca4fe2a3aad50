// Names on the wire and the cases of purify-ts (`Left`, `Right`) are not ours to choose, so names in object literals and record types are left alone.
const namingConvention = [
	'error',
	{
		selector: ['variable', 'function', 'classProperty', 'classMethod', 'parameterProperty', 'parameter', 'classicAccessor'],
		format: ['strictCamelCase'],
		leadingUnderscore: 'allow',
		filter: {regex: '^(Left|Right)$', match: false},
	},
	{selector: 'typeLike', format: ['StrictPascalCase']},
];

const config = [
	{ignores: ['**/dist/**']},
	{
		files: ['**/*.ts'],
		rules: {
			'@typescript-eslint/naming-convention': namingConvention,
			// The tests run compiled, from `dist`; the `files` setting of AVA says so.
			'ava/no-ignored-test-files': 'off',
			// The constructors of purify-ts are functions with a capital letter.
			'new-cap': ['error', {newIsCap: true, capIsNew: true, capIsNewExceptions: ['Left', 'Right', 'Just', 'Nothing', 'EitherAsync', 'MaybeAsync']}],
			// Steps that follow one another are meant to.
			'no-await-in-loop': 'off',
			// A branded id and a schema's output are narrowed once, where they are checked.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
		},
	},
	{
		files: ['**/*.test.ts'],
		rules: {
			// The test runner and fast-check are dependencies of the workspace, not of each package.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default config;
