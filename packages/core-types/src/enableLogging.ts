/** Enables the logger; must be imported before roarr, which reads the variable `ROARR_LOG` when it loads. */

/** On unless the environment sets it otherwise; roarr itself is off by default. */
process.env.ROARR_LOG ??= 'true';
