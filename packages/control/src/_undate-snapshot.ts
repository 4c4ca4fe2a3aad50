import {type BillOriginsData} from './_bill-origins.js';
import {type ClaimsData} from './_claims.js';
import {type ConfigurationData} from './_configuration-changes.js';

/** The parts of a snapshot whose times are those of the log. */
export type TimedData = {
	readonly configuration: ConfigurationData;
	readonly claims: ClaimsData;
	readonly ledger: BillOriginsData;
};

/** Has everything in a snapshot that holds dates in place of times of the log count as new: kept longer than it must be, and nothing forgotten too early. */
export function undateSnapshot<Data extends TimedData>(data: Data): Data {
	const {configuration, claims, ledger} = data;
	return {
		...data,
		configuration: {...configuration, remembered: configuration.remembered.map(([id, earlier]) => [id, {...earlier, at: 0}] as const)},
		claims: claims.map(([workspace, {open, settled}]) => [workspace, {
			open: open.map(([key, claim]) => [key, {...claim, takenAt: 0}] as const),
			settled: settled.map(([key, claim]) => [key, {...claim, settledAt: 0}] as const),
		}] as const),
		ledger: {...ledger, origins: ledger.origins.map(([key, origin]) => [key, {...origin, lastAt: 0}] as const)},
	};
}
