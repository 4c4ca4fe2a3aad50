import {type Configuration} from '@valehitch/core';

const maximumPaths = 20;

/** Lists the models, services and workspaces that differ between two documents, as paths such as `models.tag-small`. */
export function changedPaths(before: Configuration, after: Configuration): readonly string[] {
	const paths: string[] = [];
	for (const section of ['models', 'services', 'workspaces'] as const) {
		const previous: Readonly<Record<string, unknown>> = before[section];
		const current: Readonly<Record<string, unknown>> = after[section];
		for (const name of new Set([...Object.keys(previous), ...Object.keys(current)])) {
			if (JSON.stringify(previous[name]) !== JSON.stringify(current[name])) {
				paths.push(`${section}.${name}`);
			}
		}
	}

	if (JSON.stringify(before.evacuatedZones ?? []) !== JSON.stringify(after.evacuatedZones ?? [])) {
		paths.push('evacuatedZones');
	}

	return paths.slice(0, maximumPaths);
}
