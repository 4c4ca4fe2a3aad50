/** What the processes of a measurement read when the cut between zones changes. */
export type ZoneCut = {
	readonly zoneOfPort: Readonly<Record<string, string>>;
	/** Zones that reach no other and that no other reaches. */
	readonly cutZones: readonly string[];
};

/** The environment variable that names the file. */
export const zoneCutVariable = 'VALEHITCH_ZONE_CUT_FILE';
