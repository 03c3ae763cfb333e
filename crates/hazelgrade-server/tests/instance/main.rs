mod common;
mod input;
mod serving;
