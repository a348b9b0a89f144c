process.env.ROARR_LOG ??= 'true';
