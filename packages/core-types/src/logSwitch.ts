/** Switches the logger on; imported before it, as the logger reads its switch (`ROARR_LOG`) when it loads. */

/** On unless the environment says otherwise: logs are on by default, roarr's are off. */
process.env.ROARR_LOG ??= 'true';
