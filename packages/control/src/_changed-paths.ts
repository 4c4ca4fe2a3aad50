import {type Configuration} from '@valehitch/core';

const mostPaths = 20;

/** Names the entries of models, services and workspaces in which two documents differ. */
export function changedPaths(before: Configuration, after: Configuration): readonly string[] {
	const paths: string[] = [];
	for (const section of ['models', 'services', 'workspaces'] as const) {
		const old: Readonly<Record<string, unknown>> = before[section];
		const current: Readonly<Record<string, unknown>> = after[section];
		for (const name of new Set([...Object.keys(old), ...Object.keys(current)])) {
			if (JSON.stringify(old[name]) !== JSON.stringify(current[name])) {
				paths.push(`${section}.${name}`);
			}
		}
	}

	return paths.slice(0, mostPaths);
}
