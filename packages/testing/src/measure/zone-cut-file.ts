/** The content of the file that configures the simulated partition between zones. */
export type ZoneCut = {
	readonly zoneOfPort: Readonly<Record<string, string>>;
	/** The zones that are partitioned from all other zones. */
	readonly cutZones: readonly string[];
};

/** The environment variable with the path of the file. */
export const zoneCutVariable = 'VALEHITCH_ZONE_CUT_FILE';
