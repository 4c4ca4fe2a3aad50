import {type BillOriginsData} from './_bill-origins.js';
import {type ClaimsData} from './_claims.js';
import {type ConfigurationData} from './_configuration-changes.js';

/** The parts of a snapshot with times of the replicated clock. */
export type TimestampedData = {
	readonly configuration: ConfigurationData;
	readonly claims: ClaimsData;
	readonly ledger: BillOriginsData;
};

/** Converts a snapshot that has dates instead of times of the replicated clock. All its records count as new, so they are kept longer than necessary but never expire too early. */
export function resetSnapshotTimes<Data extends TimestampedData>(data: Data): Data {
	const {configuration, claims, ledger} = data;
	return {
		...data,
		configuration: {...configuration, remembered: configuration.remembered.map(([id, result]) => [id, {...result, at: 0}] as const)},
		claims: claims.map(([workspace, {open, settled}]) => [workspace, {
			open: open.map(([key, claim]) => [key, {...claim, takenAt: 0}] as const),
			settled: settled.map(([key, claim]) => [key, {...claim, settledAt: 0}] as const),
		}] as const),
		ledger: {...ledger, origins: ledger.origins.map(([key, origin]) => [key, {...origin, lastAt: 0}] as const)},
	};
}
