/** The variable with the address of the process that the preloaded module runs in. */
export const selfVariable = 'SOAK_SELF';

/** The variable with the file that says how the disk misbehaves. */
export const diskFileVariable = 'SOAK_DISK_FILE';

/** The port on which instances listen for one another, and that of the proxy in front of it. */
export const proxyPorts = {peers: 7340, proxied: 7390} as const;
